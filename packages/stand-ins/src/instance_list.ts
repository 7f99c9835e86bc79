import { z } from "zod";
import {
  type Exchange,
  headerOf,
  readJson,
  sendJson,
} from "./http_exchange.js";
import { CommonFaultsSchema, HttpStandIn } from "./http_stand_in.js";
import { HttpStatusError } from "./http_status_error.js";
import { LaggedValue } from "./lagged_value.js";

export const InstanceSchema = z.object({
  instance_id: z.string().min(1),
  role: z.enum(["router", "endpoint"]),
  pool: z.string(),
  address: z.string(),
  failure_domain: z.string(),
  state: z.enum(["live", "leaving"]),
});
export type Instance = z.infer<typeof InstanceSchema>;

const InstanceListFaultsSchema = CommonFaultsSchema.extend({
  /** Delay in milliseconds until readers see a change. */
  lag_ms: z.number().nonnegative().optional(),
  /** While true, readers see the list as it was when it was frozen. */
  frozen: z.boolean().optional(),
});
export type InstanceListFaults = z.input<typeof InstanceListFaultsSchema>;

interface Snapshot {
  readonly version: number;
  readonly instances: readonly Instance[];
}

export interface InstanceListOptions {
  readonly port?: number;
  readonly lagMs?: number;
}

/**
 * Stand-in for the platform's instance list. Readers see each change of the
 * true list only after a lag.
 */
export class InstanceList extends HttpStandIn {
  readonly #instances = new Map<string, Instance>();
  readonly #snapshots: LaggedValue<Snapshot>;
  #version = 1;
  #frozenSnapshot: Snapshot | undefined;

  constructor(options: InstanceListOptions = {}) {
    super(options.port);
    const empty = { version: this.#version, instances: [] };
    this.#snapshots = new LaggedValue<Snapshot>(empty, options.lagMs ?? 0);
  }

  /** The list that readers see now. */
  get visibleSnapshot(): Snapshot {
    return this.#frozenSnapshot ?? this.#snapshots.read(performance.now());
  }

  /** The true list, which readers see after the lag. */
  get instances(): Instance[] {
    return [...this.#instances.values()];
  }

  /** Adds or replaces an instance in the true list. */
  put(instance: Instance): void {
    this.#instances.set(instance.instance_id, instance);
    this.#publish();
  }

  /** Removes an instance from the true list. */
  remove(instanceId: string): void {
    if (this.#instances.delete(instanceId)) {
      this.#publish();
    }
  }

  async setFaults(faults: InstanceListFaults): Promise<void> {
    const parsed = InstanceListFaultsSchema.parse(faults);
    this.#snapshots.lagMs = parsed.lag_ms ?? this.#snapshots.lagMs;
    if (parsed.frozen !== undefined) {
      this.#frozenSnapshot = parsed.frozen ? this.visibleSnapshot : undefined;
    }
    await this.applyCommonFaults(parsed);
  }

  protected override applyFaults(body: unknown): Promise<void> {
    return this.setFaults(body as InstanceListFaults);
  }

  protected override async handle(exchange: Exchange): Promise<void> {
    const path = decodeURIComponent(exchange.url.pathname);
    const method = exchange.request.method;
    const id = path.slice("/instances/".length);
    if (path === "/instances" && method === "GET") {
      this.#get(exchange);
    } else if (path.startsWith("/instances/") && method === "PUT") {
      const body = await readJson(exchange.request) as object;
      this.put(InstanceSchema.parse({ ...body, instance_id: id }));
      sendJson(exchange, 200, { version: this.#version });
    } else if (path.startsWith("/instances/") && method === "DELETE") {
      this.remove(id);
      sendJson(exchange, 204);
    } else {
      throw new HttpStatusError(404, `No resource ${path}`);
    }
  }

  #get(exchange: Exchange): void {
    const { version, instances } = this.visibleSnapshot;
    const etag = `"${version}"`;
    if (headerOf(exchange.request, "if-none-match") === etag) {
      this.sendUnlessHanging(exchange, 304, undefined, { etag });
      return;
    }
    this.sendUnlessHanging(exchange, 200, { version, instances }, { etag });
  }

  #publish(): void {
    this.#version += 1;
    this.#snapshots.set(
      { version: this.#version, instances: this.instances },
      performance.now(),
    );
  }
}
