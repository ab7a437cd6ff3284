/**
 * Finds free ports on loopback for fakes and fleets of nodes.
 * @module
 */
import { randomInt } from "node:crypto";
import { mkdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";

/** Ports outside the range that the system assigns to connections. */
const TEST_PORTS = { from: 10_000, to: 32_000 };

/** Holds a file for each reserved port, with the id of the owner's process. */
const RESERVATIONS_FOLDER = join(tmpdir(), "lagoonlock-ports");

const reservations = new Set<string>();

process.once("exit", () => {
  for (const file of reservations) rmSync(file, { force: true });
});

/**
 * Returns `count` different free ports. Until this process ends, no other
 * process gets them from this function, also while nothing listens on them.
 */
export async function freePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = randomInt(TEST_PORTS.from, TEST_PORTS.to);
    if (reserve(port) && await isFree(port)) ports.push(port);
  }
  return ports;
}

/** Reserves a port. Returns false if another process or this one holds it. */
function reserve(port: number): boolean {
  mkdirSync(RESERVATIONS_FOLDER, { recursive: true });
  const file = join(RESERVATIONS_FOLDER, String(port));
  try {
    writeFileSync(file, String(process.pid), { flag: "wx" });
  } catch {
    if (!isOwnerAlive(file)) rmSync(file, { force: true });
    return false;
  }
  reservations.add(file);
  return true;
}

function isOwnerAlive(file: string): boolean {
  try {
    return process.kill(Number(readFileSync(file, "utf8")), 0);
  } catch (err) {
    // The process exists, but belongs to another user.
    return (err as NodeJS.ErrnoException).code === "EPERM";
  }
}

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  const isListening = await new Promise<boolean>((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => resolve(true));
  });
  if (isListening) await new Promise((resolve) => server.close(resolve));
  return isListening;
}
