import { findEndpoint, type RouterState } from "@anvildeal/core";
import type { AdminServices } from "../admin/index.js";
import type { NodeServices } from "../node_services.js";
import { OrderError, type OrderIssuer } from "../orders/index.js";
import type { BurnReporter } from "./burn_reporter.js";
import { routerStatus } from "./router_status.js";

export interface AdminServicesOptions {
  readonly state: RouterState;
  readonly services: NodeServices;
  readonly orderIssuer: OrderIssuer;
  readonly burnReporter: BurnReporter;
}

/** Connects the administration API to the parts of a router. */
export function createAdminServices(
  { state, services, orderIssuer, burnReporter }: AdminServicesOptions,
): AdminServices {
  const { clock, logger, store } = services;
  return {
    store,
    clock,
    log: ({ name, fields }) =>
      logger.log(
        `admin_${name}`,
        Object.fromEntries(
          Object.entries(fields).map(([key, value]) => [key, String(value)]),
        ),
      ),
    fleet: {
      status: () => routerStatus(state, services, state.config?.version ?? 0),
      traffic: () => undefined,
    },
    explain: {
      explain: (requestId) =>
        Promise.resolve(
          state.requests.get(requestId)?.explainSteps ??
            state.explainSteps.get(requestId),
        ),
    },
    drain: async (endpointId, by) => {
      if (!findEndpoint(state.membership, endpointId)) {
        return "unknown_endpoint";
      }
      try {
        const reply = await orderIssuer.issue(endpointId, "drain", {}, by);
        return reply.accepted ? "draining" : "unreachable";
      } catch (error) {
        if (error instanceof OrderError) {
          return "unreachable";
        }
        throw error;
      }
    },
    fleetReports: {
      report: (name) =>
        name === "burn" ? burnReporter.report() : Promise.resolve(undefined),
    },
    clientKeys: {
      has: (keyHash) => state.config?.accountsByKeyHash.has(keyHash) ?? false,
    },
  };
}
