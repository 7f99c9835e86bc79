import { createServer } from "node:net";

/**
 * Below the ephemeral port range, which serves outgoing connections and port 0,
 * so that no other socket gets a port between its check and its use.
 */
const FIRST_PORT = 20_000;
const PORTS_PER_WORKER = 1500;
const WORKERS = 8;

let offset = 0;

/**
 * Returns ports that are free at an address. Processes that run at the same time
 * get different ports if their numbers in `VITEST_POOL_ID` differ.
 */
export async function reservePorts(
  host: string,
  count: number,
): Promise<number[]> {
  const worker = Number(process.env["VITEST_POOL_ID"] ?? process.pid) % WORKERS;
  const ports: number[] = [];
  while (ports.length < count) {
    const port = FIRST_PORT + worker * PORTS_PER_WORKER +
      offset++ % PORTS_PER_WORKER;
    if (await isFree(host, port)) {
      ports.push(port);
    }
  }
  return ports;
}

function isFree(host: string, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}
