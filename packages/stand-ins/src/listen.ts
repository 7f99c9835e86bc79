import type { Server } from "node:net";

/** Starts a server on a loopback port and returns the port in use. */
export function listenOnLoopback(server: Server, port = 0): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, "127.0.0.1", () => {
      const address = server.address();
      resolve(typeof address === "object" && address ? address.port : port);
    });
  });
}
