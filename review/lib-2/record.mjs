/** Keeps what was sent, run and answered, and writes it to `record.txt`. */
import { writeFileSync } from "node:fs";

export function createRecord(file) {
  const startedAt = Date.now();
  const lines = [];
  const entries = [];
  return {
    entries,
    add(what, fields = {}) {
      const at = Date.now() - startedAt;
      entries.push({ at, what, ...fields });
      const text = Object.entries(fields)
        .filter(([, value]) => value !== undefined)
        .map(([name, value]) => `${name}=${value}`)
        .join(" ");
      lines.push(`${String(at).padStart(7)} ${what} ${text}`);
    },
    now: () => Date.now() - startedAt,
    save() {
      writeFileSync(file, `${lines.join("\n")}\n`);
    },
  };
}
