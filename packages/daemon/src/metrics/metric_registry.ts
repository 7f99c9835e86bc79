import type { ServerResponse } from "node:http";
import { type Measurement, type MetricName, METRICS } from "@anvildeal/core";
import { Counter, Gauge, Histogram, Registry } from "prom-client";

const PREFIX = "anvildeal_";

/** Upper bounds of the histogram buckets of durations, in milliseconds. */
const DURATION_BUCKETS_MS = [
  1,
  2,
  5,
  10,
  20,
  37,
  50,
  100,
  200,
  400,
  630,
  1000,
  2000,
  4000,
  8000,
  16_000,
  32_000,
  64_000,
];

/** Upper bounds of the histogram buckets of ratios. */
const RATIO_BUCKETS = [0.25, 0.5, 0.75, 1, 1.1, 1.2, 1.25, 1.3, 1.5, 2, 4];

/** A gauge whose values are read on each scrape. */
export interface GaugeSource {
  readonly name: string;
  readonly help: string;
  readonly labels: readonly string[];
  readonly read: () => readonly {
    readonly labels: Readonly<Record<string, string>>;
    readonly value: number;
  }[];
}

/** Prometheus metrics of the process: those of `METRICS` and added gauges. */
export class MetricRegistry {
  readonly registry = new Registry();
  readonly #counters = new Map<MetricName, Counter>();
  readonly #histograms = new Map<MetricName, Histogram>();

  constructor() {
    for (const name of Object.keys(METRICS) as MetricName[]) {
      this.#createMetric(name);
    }
  }

  /** Adds to a counter, or records a value in a histogram. */
  observe({ metric, value, labels }: Measurement): void {
    this.#counters.get(metric)?.inc(labels, value);
    this.#histograms.get(metric)?.observe(labels, value);
  }

  /** Adds a gauge. Must be called at most once for each name of a gauge. */
  addGauge(source: GaugeSource): void {
    const gauge = new Gauge({
      name: PREFIX + source.name,
      help: source.help,
      labelNames: [...source.labels],
      registers: [this.registry],
      collect: () => {
        gauge.reset();
        for (const { labels, value } of source.read()) {
          gauge.set(labels, value);
        }
      },
    });
  }

  /** Responds to a scrape in the Prometheus text format. */
  async sendMetrics(response: ServerResponse): Promise<void> {
    response.setHeader("content-type", this.registry.contentType);
    response.end(await this.registry.metrics());
  }

  #createMetric(name: MetricName): void {
    const { kind, help, labels } = METRICS[name];
    const options = {
      name: PREFIX + name,
      help,
      labelNames: [...labels],
      registers: [this.registry],
    };
    if (kind === "counter") {
      this.#counters.set(name, new Counter(options));
      return;
    }
    const buckets = name.endsWith("_ms") ? DURATION_BUCKETS_MS : RATIO_BUCKETS;
    this.#histograms.set(name, new Histogram({ ...options, buckets }));
  }
}
