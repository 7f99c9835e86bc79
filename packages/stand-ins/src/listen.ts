import type { Server as HttpServer } from "node:http";
import type { Server } from "node:net";

/**
 * Starts a server on the loopback port `port`, or on a free port if `port` is
 * 0. Returns the port; rejects if the server cannot listen.
 *
 * @param host An address of the loopback network.
 */
export function listenOnLoopback(
  server: Server,
  port = 0,
  host = "127.0.0.1",
): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      server.off("error", reject);
      const address = server.address();
      resolve(typeof address === "object" && address ? address.port : port);
    });
  });
}

/** Stops an HTTP server and closes the server's connections at once. */
export async function closeServer(server: HttpServer): Promise<void> {
  if (!server.listening) {
    return;
  }
  const closed = new Promise<void>((resolve) => server.close(() => resolve()));
  server.closeAllConnections();
  await closed;
}
