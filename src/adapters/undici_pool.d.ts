/**
 * Types of undici's pool module. The whole package takes 9 MB more.
 * @module
 */
declare module "undici/lib/dispatcher/pool.js" {
  export { Pool as default } from "undici";
}
