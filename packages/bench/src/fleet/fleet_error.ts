/** A process of the fleet did not start or failed a requested operation. */
export class FleetError extends Error {
  override readonly name = "FleetError";
}
