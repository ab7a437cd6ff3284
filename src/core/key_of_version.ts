/**
 * Builds the key of a service version.
 * @module
 */

/** Returns the key of a service version in maps: `service@version`. */
export function keyOfVersion(service: string, version: string): string {
  return `${service}@${version}`;
}
