/**
 * Types of single undici modules. Loading the whole package takes 9 MB more.
 * @module
 */
declare module "undici/lib/dispatcher/pool.js" {
  export { Pool as default } from "undici";
}

declare module "undici/lib/dispatcher/client.js" {
  export { Client as default } from "undici";
}

declare module "undici/lib/api/api-request.js" {
  import type { Dispatcher } from "undici";

  export default function request(
    this: Dispatcher,
    opts: Dispatcher.RequestOptions,
  ): Promise<Dispatcher.ResponseData>;
}
