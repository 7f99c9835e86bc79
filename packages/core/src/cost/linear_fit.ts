/** Factor by which the weight of earlier samples falls with each new one. */
const DECAY = 0.995;

/**
 * Weight of the initial slope, as the sum of squared deviations of samples that
 * would show it.
 */
const INITIAL_SLOPE_WEIGHT = 500;

/**
 * Fits a line to samples, where newer ones weigh more. Its slope is never
 * negative, since more load makes nothing faster.
 */
export class LinearFit {
  readonly #initialSlope: number;
  #weight = 0;
  #sumX = 0;
  #sumY = 0;
  #sumXX = 0;
  #sumXY = 0;

  /** @param initialSlope Slope before samples show another. */
  constructor(initialSlope: number) {
    this.#initialSlope = initialSlope;
  }

  /** Sum of the weights of all samples. */
  get weight(): number {
    return this.#weight;
  }

  /** Adds a sample. */
  record(x: number, y: number): void {
    this.#weight = this.#weight * DECAY + 1;
    this.#sumX = this.#sumX * DECAY + x;
    this.#sumY = this.#sumY * DECAY + y;
    this.#sumXX = this.#sumXX * DECAY + x * x;
    this.#sumXY = this.#sumXY * DECAY + x * y;
  }

  /** Slope of the line; never negative. */
  get slope(): number {
    const weight = Math.max(1, this.#weight);
    const variance = this.#sumXX - this.#sumX * this.#sumX / weight;
    const covariance = this.#sumXY - this.#sumX * this.#sumY / weight;
    const slope = (covariance + this.#initialSlope * INITIAL_SLOPE_WEIGHT) /
      (variance + INITIAL_SLOPE_WEIGHT);
    return Math.max(0, slope);
  }

  /** Mean of the samples; 0 without any. */
  get mean(): number {
    return this.#sumY / Math.max(1, this.#weight);
  }

  /** Value of the line at `x`; never negative. */
  at(x: number): number {
    const fromMean = x - this.#sumX / Math.max(1, this.#weight);
    return Math.max(0, this.mean + this.slope * fromMean);
  }
}
