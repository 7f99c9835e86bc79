/**
 * Fraction of its part of all requests that a group is served at least, while it
 * has requests waiting.
 */
const GUARANTEED_FRACTION = 0.25;

/** At this number of requests all counts are halved, so that old ones fade. */
const COUNTED_REQUESTS = 512;

/** Groups with fewer requests than this, after halving, are forgotten. */
const MIN_COUNT = 0.5;

interface Group {
  waiting: number;
  /** Requests received of late. */
  received: number;
  /** Requests of the guarantee that were not served yet. */
  credit: number;
}

/** A group and its part of the requests received of late. */
export interface GroupShare {
  readonly group: string;
  readonly share: number;
}

/**
 * Guarantees that no group of requests starves, such as a route or an account. A
 * group that waits earns credit with each request that is served, and spends it
 * with each request of its own. The order of service holds as long as no group
 * has credit for a whole request.
 */
export class ServiceCredits {
  readonly #groups = new Map<string, Group>();
  #received = 0;

  add(name: string): void {
    const group = this.#groups.get(name) ??
      { waiting: 0, received: 0, credit: 0 };
    this.#groups.set(name, group);
    group.waiting++;
    group.received++;
    this.#received++;
    if (this.#received >= COUNTED_REQUESTS) {
      this.#halveCounts();
    }
  }

  /** Records that a request of the group is no longer waiting. */
  remove(name: string): void {
    const group = this.#groups.get(name);
    if (!group) {
      return;
    }
    group.waiting--;
    if (group.waiting === 0) {
      group.credit = 0;
    }
  }

  /** Records that a request of the group is served. */
  recordServed(name: string): void {
    for (const group of this.#groups.values()) {
      if (group.waiting > 0) {
        group.credit += GUARANTEED_FRACTION * group.received / this.#received;
      }
    }
    const served = this.#groups.get(name);
    if (served) {
      served.credit = Math.max(0, served.credit - 1);
    }
    this.remove(name);
  }

  /** The group with the most credit for whole requests, if any. */
  get starved(): string | undefined {
    let starved: string | undefined;
    let mostCredit = 1;
    for (const [name, { credit }] of this.#groups) {
      if (credit >= mostCredit) {
        starved = name;
        mostCredit = credit;
      }
    }
    return starved;
  }

  /** The group with the most requests received of late. */
  get largest(): GroupShare | undefined {
    let largest: GroupShare | undefined;
    for (const [group, { received }] of this.#groups) {
      const share = received / this.#received;
      if (!largest || share > largest.share) {
        largest = { group, share };
      }
    }
    return largest;
  }

  #halveCounts(): void {
    this.#received = 0;
    for (const [name, group] of this.#groups) {
      group.received /= 2;
      if (group.waiting === 0 && group.received < MIN_COUNT) {
        this.#groups.delete(name);
      } else {
        this.#received += group.received;
      }
    }
  }
}
