import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { AccountTraffic, OperatorRole } from "@anvildeal/core";
import { ManualClock } from "../manual_clock_fixture.js";
import { AdminApi } from "./admin_api.js";
import type { AdminLogEvent } from "./admin_log.js";
import type { DrainResult } from "./admin_services.js";
import { sha256Hex } from "./sha256_hex.js";
import { MemoryObjectStore } from "./memory_object_store.js";

/** Operators of the fixture; their keys are `<name>-key`. */
const OPERATORS: Record<string, OperatorRole[]> = {
  paula: ["proposer"],
  peter: ["proposer", "approver"],
  anna: ["approver"],
  arne: ["approver", "activator"],
  vera: ["viewer"],
  root: ["admin"],
};

export const CLIENT_KEY = "client-account-key";

export interface AdminResponse {
  readonly status: number;
  // Tests read different properties of the body.
  // oxlint-disable-next-line no-explicit-any
  readonly body: any;
}

/** HTTP servers with an `AdminApi` over a store in memory, for tests. */
export class AdminFixture {
  readonly store = new MemoryObjectStore();
  readonly clock = new ManualClock();
  readonly logs: AdminLogEvent[] = [];
  burnReport: unknown = { rows: [{ objective: "fast", burn: 0.5 }] };
  drainResult: DrainResult = "draining";
  traffic: AccountTraffic | undefined;
  url = "";
  readonly #servers: Server[] = [];

  async start(maxBundleBytes?: number): Promise<this> {
    this.url = await this.startServer(maxBundleBytes);
    const operators = Object.entries(OPERATORS).map(([name, roles]) => ({
      name,
      roles,
      key_hash: sha256Hex(`${name}-key`),
    }));
    await this.store.create("config/operators", { operators });
    return this;
  }

  /** Starts a server over the same store, as another router would. */
  async startServer(maxBundleBytes?: number): Promise<string> {
    const api = new AdminApi({
      store: this.store,
      clock: this.clock,
      log: (event) => this.logs.push(event),
      fleet: {
        status: () => ({ endpoints: 12 }),
        traffic: () => this.traffic,
      },
      explain: {
        explain: async (id) =>
          id === "r-1" ? { request_id: id, endpoint: "e-1" } : undefined,
      },
      drain: async (id) => id === "e-1" ? this.drainResult : "unknown_endpoint",
      fleetReports: {
        report: async (name) => name === "burn" ? this.burnReport : undefined,
      },
      clientKeys: { has: (hash) => hash === sha256Hex(CLIENT_KEY) },
    }, maxBundleBytes === undefined ? {} : { maxBundleBytes });
    const server = createServer((request, response) => {
      void api.handle(request, response);
    });
    this.#servers.push(server);
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", () => resolve())
    );
    const { port } = server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  async dispose(): Promise<void> {
    for (const server of this.#servers) {
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
    }
  }

  /** Makes a call as an operator; a body that is not a string is sent as JSON. */
  async call(
    operator: string,
    method: string,
    path: string,
    body?: unknown,
    url = this.url,
  ): Promise<AdminResponse> {
    const response = await fetch(`${url}/admin/v1${path}`, {
      method,
      headers: { authorization: `Bearer ${operator}-key` },
      ...(body === undefined ? {} : {
        body: typeof body === "string" ? body : JSON.stringify(body),
      }),
    });
    return { status: response.status, body: await response.json() };
  }

  /** Proposes a bundle as paula and signs it off as anna. */
  async proposeAndSignOff(
    weight = 1,
  ): Promise<{ id: string; digest: string }> {
    const { status, body } = await this.call("paula", "POST", "/proposals", {
      files: [{ file: "bundle.toml", bundle: sampleBundle(weight) }],
      note: `weight ${weight}`,
    });
    if (status !== 201) {
      throw new Error(`Proposing failed: ${JSON.stringify(body)}`);
    }
    const { id, digest } = body;
    await this.call("anna", "POST", `/proposals/${id}/sign-off`, { digest });
    return { id, digest };
  }

  activate(
    { id, digest }: { id: string; digest: string },
    url = this.url,
  ): Promise<AdminResponse> {
    const path = `/proposals/${id}/activate`;
    return this.call("arne", "POST", path, { digest }, url);
  }

  /** Makes every call to the store fail. */
  stopStore(): void {
    this.store.fault = () => "unavailable";
  }
}

/**
 * Returns a valid bundle. Bundles with different values of `weight` have
 * different digests.
 */
export function sampleBundle(weight = 1): Record<string, unknown> {
  const account = (name: string) => ({
    name,
    key_hashes: [sha256Hex(name)],
    pools: ["chat"],
  });
  return {
    accounts: [{ ...account("wiki"), weight }, account("portal")],
    pools: [{ name: "chat", kind: "model", models: ["m-1"] }],
  };
}
