/** A request for the instance list failed or its response was invalid. */
export class InstanceListError extends Error {
  override readonly name = "InstanceListError";
}
