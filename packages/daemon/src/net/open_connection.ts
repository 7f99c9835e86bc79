import { Socket } from "node:net";

/**
 * Opens a TCP connection to an address such as `10.0.0.1:8080`. If the address
 * is not valid, the connection fails with an error event, as one does that is
 * refused.
 *
 * @param socket Unconnected socket that is used for it.
 */
export function openConnection<S extends Socket = Socket>(
  address: string,
  socket = new Socket() as S,
): S {
  try {
    return socket.connect(splitAddress(address));
  } catch (error) {
    return socket.destroy(error as Error);
  }
}

/** Splits "1.2.3.4:5" or "[::1]:5" into host and port, without validation. */
export function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(":");
  return {
    host: address.slice(0, colon).replace(/^\[|\]$/g, ""),
    port: Number(address.slice(colon + 1)),
  };
}
