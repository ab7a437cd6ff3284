/**
 * Formats differences between configurations for operators.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { Difference, Field, FieldChange } from "./state.ts";

/**
 * Returns a line per added or removed entry (`+`, `-`) and a line per changed
 * field (`~`).
 */
export function formatDifference(difference: Difference): readonly string[] {
  switch (difference.type) {
    case "version":
      return [`~ version: ${difference.from} -> ${difference.to}`];
    case "limits-changed":
      return formatChanges("limits", difference.changes);
    case "route-added":
      return [`+ ${nameRoute(difference)}: ${formatFields(difference.fields)}`];
    case "route-removed":
      return [`- ${nameRoute(difference)}: ${formatFields(difference.fields)}`];
    case "route-changed":
      return formatChanges(nameRoute(difference), difference.changes);
    case "service-added":
      return [
        `+ service ${difference.service}: ${formatFields(difference.fields)}`,
      ];
    case "service-removed":
      return [
        `- service ${difference.service}: ${formatFields(difference.fields)}`,
      ];
    case "service-changed":
      return formatChanges(
        `service ${difference.service}`,
        difference.changes,
      );
    case "keys-required":
      return [
        difference.isRequired
          ? "~ requests need an API key"
          : "~ requests need no API key any more",
      ];
    case "account-added":
    case "account-removed": {
      const { account, fields, keys } = difference;
      const sign = difference.type === "account-added" ? "+" : "-";
      return [
        `${sign} account ${account}: ${formatFields(fields)}, keys ${keys}`,
      ];
    }
    case "account-changed": {
      const { account, changes, addedKeys, removedKeys } = difference;
      const lines = formatChanges(`account ${account}`, changes);
      return addedKeys + removedKeys === 0 ? lines : [
        ...lines,
        `~ account ${account}: keys: ${addedKeys} added, ${removedKeys} removed`,
      ];
    }
    default:
      return exhausted(difference);
  }
}

function nameRoute(route: { readonly host: string; readonly prefix: string }) {
  return `route ${route.host}${route.prefix}`;
}

function formatFields(fields: readonly Field[]): string {
  return fields.map(({ name, value }) => `${name} ${value}`).join(", ");
}

function formatChanges(
  name: string,
  changes: readonly FieldChange[],
): readonly string[] {
  return changes.map(({ field, from, to }) =>
    `~ ${name}: ${field}: ${from} -> ${to}`
  );
}
