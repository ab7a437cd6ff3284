/**
 * Checks whether a text from another process is an address to connect to.
 * @module
 */

const ADDRESS_PATTERN = /^[\w.-]+:(\d{1,5})$/;

const MAX_PORT = 65_535;

/** Returns whether the text is `host:port` with a port from 1 to 65,535. */
export function isAddress(text: string): boolean {
  const port = Number(ADDRESS_PATTERN.exec(text)?.[1] ?? 0);
  return port >= 1 && port <= MAX_PORT && URL.canParse(`ws://${text}`);
}
