import { createServer } from "node:net";

/**
 * First port that is reserved. All reserved ports are below the ephemeral port
 * range, from which the system assigns ports to outgoing connections and for
 * port 0, so that no other socket gets a port between the check and the use of
 * the port.
 */
const FIRST_PORT = 20_000;
const PORTS_PER_WORKER = 1500;

/** Ranges of the test runner's workers, and of programs that run beside it. */
const TEST_WORKERS = 4;
const OTHER_PROCESSES = 4;

/** Programs with one range begin at different ports of it. */
const PROCESS_PORT_STRIDE = 97;

const testWorker = process.env["VITEST_POOL_ID"];
let nextPortOffset = testWorker === undefined
  ? process.pid * PROCESS_PORT_STRIDE
  : 0;

/**
 * Returns `count` ports that are free at the address `host`. Workers of the test
 * runner get different ports if their numbers in `VITEST_POOL_ID` differ, and
 * others than programs that run at the same time.
 */
export async function reservePorts(
  host: string,
  count: number,
): Promise<number[]> {
  const worker = testWorker === undefined
    ? TEST_WORKERS + process.pid % OTHER_PROCESSES
    : Number(testWorker) % TEST_WORKERS;
  const ports: number[] = [];
  while (ports.length < count) {
    const port = FIRST_PORT + worker * PORTS_PER_WORKER +
      nextPortOffset++ % PORTS_PER_WORKER;
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
