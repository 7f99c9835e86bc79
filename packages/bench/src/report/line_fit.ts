import { round, sum } from "./load_summary.js";

export interface LineFit {
  readonly slope: number;
  readonly intercept: number;
  /** Largest absolute difference in y between a point and the line. */
  readonly max_residual: number;
}

/**
 * Fits a least-squares line. All results are NaN unless the points have at
 * least two different values of x.
 */
export function fitLine(
  points: readonly { readonly x: number; readonly y: number }[],
): LineFit {
  const count = points.length;
  const meanX = sum(points, ({ x }) => x) / count;
  const meanY = sum(points, ({ y }) => y) / count;
  const slope = sum(points, ({ x, y }) => (x - meanX) * (y - meanY)) /
    sum(points, ({ x }) => (x - meanX) ** 2);
  const intercept = meanY - slope * meanX;
  const residuals = points.map(({ x, y }) =>
    Math.abs(y - (intercept + slope * x))
  );
  const DIGITS = 6;
  return {
    slope: round(slope, DIGITS),
    intercept: round(intercept, DIGITS),
    max_residual: round(Math.max(...residuals), DIGITS),
  };
}
