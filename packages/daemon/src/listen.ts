import type { Server } from "node:net";

/**
 * Starts a server and resolves to the port in use; port 0 lets the system
 * choose one. Rejects when the address cannot be bound.
 */
export function listen(
  server: Server,
  host: string,
  port: number,
): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      const address = server.address();
      resolve(address && typeof address === "object" ? address.port : port);
    });
  });
}
