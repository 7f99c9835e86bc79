import { request } from "undici";

export interface MetricSample {
  readonly name: string;
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}

/** Samples of a metrics page in the Prometheus text format. */
export class MetricsPage {
  constructor(readonly samples: readonly MetricSample[]) {}

  static async read(metricsUrl: string): Promise<MetricsPage> {
    const url = metricsUrl.endsWith("/metrics")
      ? metricsUrl
      : `${metricsUrl}/metrics`;
    const response = await request(url, { signal: AbortSignal.timeout(2000) });
    return MetricsPage.parse(await response.body.text());
  }

  static parse(text: string): MetricsPage {
    const samples = text.split("\n")
      .filter((line) => line !== "" && !line.startsWith("#"))
      .flatMap(parseLine);
    return new MetricsPage(samples);
  }

  /** Sum over all samples of the name whose labels contain `labels`. */
  sum(name: string, labels: Readonly<Record<string, string>> = {}): number {
    return this.select(name, labels)
      .reduce((total, sample) => total + sample.value, 0);
  }

  select(
    name: string,
    labels: Readonly<Record<string, string>> = {},
  ): MetricSample[] {
    return this.samples.filter((sample) =>
      sample.name === name &&
      Object.entries(labels).every(([key, value]) =>
        sample.labels[key] === value
      )
    );
  }
}

function parseLine(line: string): MetricSample[] {
  const match = /^([\w:]+)(?:\{(.*)\})? (\S+)/.exec(line);
  if (match === null) {
    return [];
  }
  const labels: Record<string, string> = {};
  for (const [, key, value] of (match[2] ?? "").matchAll(/(\w+)="([^"]*)"/g)) {
    labels[key!] = value!;
  }
  return [{ name: match[1]!, labels, value: Number(match[3]) }];
}
