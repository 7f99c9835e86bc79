import { z } from "zod";

const MAX_PORT = 65_535;

/**
 * IP address and port at which a process listens, such as `10.0.0.1:8080` or
 * `[::1]:8080`. Connecting to any other text may throw.
 */
export const SocketAddressSchema = z.string().refine(
  isSocketAddress,
  'expected an IP address and a port, such as "10.0.0.1:8080"',
);

/** Host of an address, which names the instance. */
export function hostOf(address: string): string {
  return address.slice(0, address.lastIndexOf(":"));
}

function isSocketAddress(text: string): boolean {
  const parts = /^(?:\[([0-9a-fA-F:.]+)\]|([0-9.]+)):(\d{1,5})$/.exec(text);
  if (!parts) {
    return false;
  }
  const [, ipv6, ipv4, portText] = parts;
  const isIp = ipv6 === undefined
    ? z.ipv4().safeParse(ipv4).success
    : z.ipv6().safeParse(ipv6).success;
  const port = Number(portText);
  return isIp && port > 0 && port <= MAX_PORT;
}
