/** The instance list did not answer, or not in the published form. */
export class InstanceListError extends Error {
  override readonly name = "InstanceListError";
}
