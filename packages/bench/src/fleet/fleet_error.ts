/** A process of the fleet did not do what the launcher asked for. */
export class FleetError extends Error {
  override readonly name = "FleetError";
}
