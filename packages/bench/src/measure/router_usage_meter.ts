import type { RouterNode } from "../fleet/nodes.js";
import { round, sum } from "../report/load_summary.js";
import { readRouterStatus } from "./node_status.js";
import { readProcessUsage } from "./process_usage.js";

/** Short enough to sample routers that are replaced during a run. */
const SAMPLE_PERIOD_MS = 500;

export interface RouterUsageSummary {
  /** Control bytes sent and received by the router with the highest rate. */
  readonly control_bytes_per_router_per_s: number;
  /** Peak resident memory of the router with the highest peak. */
  readonly router_rss_max_mb: number;
  /** Mean fraction of one core used by the router that uses the most. */
  readonly router_processor_share_max: number;
}

/** Counters of a router at its first and its last sample. */
interface RouterWindow {
  readonly pid: number;
  firstMs: number;
  firstControlBytes: number;
  firstProcessorMs: number;
  lastMs: number;
  lastControlBytes: number;
  lastProcessorMs: number;
  peakResidentMb: number;
}

/** Measures control traffic, memory and processor time of the routers. */
export class RouterUsageMeter {
  readonly #windows = new Map<string, RouterWindow>();
  #timer: NodeJS.Timeout | undefined;

  constructor(private readonly routers: () => readonly RouterNode[]) {}

  async start(): Promise<void> {
    await this.#sample();
    this.#timer = setInterval(() => void this.#sample(), SAMPLE_PERIOD_MS);
  }

  async stop(): Promise<RouterUsageSummary> {
    this.dispose();
    await this.#sample();
    const windows = [...this.#windows.values()]
      .filter((window) => window.lastMs > window.firstMs);
    const highestOf = (value: (window: RouterWindow) => number) =>
      windows.length === 0 ? NaN : Math.max(...windows.map(value));
    return {
      control_bytes_per_router_per_s: round(
        highestOf((window) =>
          (window.lastControlBytes - window.firstControlBytes) * 1000 /
          (window.lastMs - window.firstMs)
        ),
      ),
      router_rss_max_mb: round(highestOf((window) => window.peakResidentMb)),
      router_processor_share_max: round(
        highestOf((window) =>
          (window.lastProcessorMs - window.firstProcessorMs) /
          (window.lastMs - window.firstMs)
        ),
        4,
      ),
    };
  }

  dispose(): void {
    clearInterval(this.#timer);
  }

  async #sample(): Promise<void> {
    await Promise.all(
      this.routers().map((router) => this.#sampleRouter(router)),
    );
  }

  async #sampleRouter(router: RouterNode): Promise<void> {
    const usage = readProcessUsage(router.process.pid);
    const controlBytes = await readControlBytes(router);
    if (usage === undefined || controlBytes === undefined) {
      return;
    }
    const nowMs = performance.now();
    const window = this.#windows.get(router.id) ?? {
      pid: router.process.pid,
      firstMs: nowMs,
      firstControlBytes: controlBytes,
      firstProcessorMs: usage.processorMs,
      lastMs: nowMs,
      lastControlBytes: controlBytes,
      lastProcessorMs: usage.processorMs,
      peakResidentMb: 0,
    };
    window.lastMs = nowMs;
    window.lastControlBytes = controlBytes;
    window.lastProcessorMs = usage.processorMs;
    window.peakResidentMb = Math.max(
      window.peakResidentMb,
      usage.peakResidentMb,
    );
    this.#windows.set(router.id, window);
  }
}

/**
 * Returns the bytes of the control messages with peers and of the calls to the
 * platform, in both directions; undefined when the router does not answer.
 */
async function readControlBytes(
  router: RouterNode,
): Promise<number | undefined> {
  const status = await readRouterStatus(router);
  if (status === undefined) {
    return undefined;
  }
  const { control_bytes, store } = status.traffic;
  return control_bytes + sum(Object.values(store), ({ bytes }) => bytes);
}
