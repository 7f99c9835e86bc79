import { callJson } from "./json_client.js";
import type { RouterNode } from "./nodes.js";

/**
 * Time between two health checks. The balancer of the platform has the same
 * period.
 */
const CHECK_PERIOD_MS = 200;

/** Stands in for the platform's balancer and polls the routers' readiness. */
export class Balancer {
  readonly #timer: NodeJS.Timeout;
  #readyUrls: readonly string[] = [];
  #isChecking = false;

  /** `routers` returns the routers that are currently registered. */
  constructor(private readonly routers: () => readonly RouterNode[]) {
    this.#timer = setInterval(() => void this.check(), CHECK_PERIOD_MS);
  }

  get readyUrls(): readonly string[] {
    return this.#readyUrls;
  }

  /**
   * Checks every router once. A router that does not answer in time counts as
   * not ready.
   */
  async check(): Promise<void> {
    if (this.#isChecking) {
      return;
    }
    this.#isChecking = true;
    const urls = this.routers().map((router) => router.httpUrl);
    const readiness = await Promise.all(urls.map(isReady));
    const ready = urls.filter((_, index) => readiness[index]);
    // On a busy machine all checks may fail. Then every router stays in use, as
    // with the platform's balancer.
    this.#readyUrls = ready.length > 0 ? ready : urls;
    this.#isChecking = false;
  }

  dispose(): void {
    clearInterval(this.#timer);
  }
}

async function isReady(url: string): Promise<boolean> {
  try {
    const answer = await Promise.race([
      callJson(`${url}/readyz`),
      new Promise<undefined>((resolve) =>
        setTimeout(() => resolve(undefined), CHECK_PERIOD_MS * 2)
      ),
    ]);
    return answer?.status === 200;
  } catch {
    return false;
  }
}
