import { OutputLengthEstimator } from "./output_length_estimator.js";
import { ServiceCosts } from "./service_costs.js";

/** What a router has learned of the cost of requests. */
export class RequestCosts {
  readonly outputLengths = new OutputLengthEstimator();
  readonly #services = new Map<string, ServiceCosts>();

  /** Returns the costs of a service; creates them on first use. */
  ofService(name: string): ServiceCosts {
    const known = this.#services.get(name);
    if (known) {
      return known;
    }
    const costs = new ServiceCosts();
    this.#services.set(name, costs);
    return costs;
  }
}
