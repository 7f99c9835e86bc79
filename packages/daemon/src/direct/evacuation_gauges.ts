import { type DirectState, requestsInEvacuatedDomains } from "@anvildeal/core";
import type { GaugeSource } from "../metrics/index.js";

/** Gauges of the failure domains that operators have ordered to evacuate. */
export function evacuationGauges(state: DirectState): GaugeSource[] {
  return [
    {
      name: "evacuated_domains",
      help: "Failure domains with an order to evacuate them",
      labels: [],
      read: () => [{
        labels: {},
        value: state.evacuations.failureDomains.length,
      }],
    },
    {
      name: "evacuated_requests_running",
      help: "Requests of this router that run in evacuated domains",
      labels: [],
      read: () => [{
        labels: {},
        value: [...requestsInEvacuatedDomains(state).values()]
          .reduce((sum, count) => sum + count, 0),
      }],
    },
  ];
}
