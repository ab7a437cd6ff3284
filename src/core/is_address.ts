/**
 * Whether text of another process is an address that can be dialled.
 * @module
 */

const addressForm = /^[\w.-]+:(\d{1,5})$/;

const largestPort = 65_535;

/** True for `host:port` with a port that a process can listen on. */
export function isAddress(text: string): boolean {
  const port = Number(addressForm.exec(text)?.[1] ?? 0);
  return port >= 1 && port <= largestPort && URL.canParse(`ws://${text}`);
}
