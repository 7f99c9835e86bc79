/** The peer sent bytes that are not a valid message of this protocol. */
export class WireError extends Error {
  override readonly name = "WireError";
}
