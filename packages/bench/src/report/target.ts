/** A target of an experiment and the figure that a run measured. */
export interface Target {
  readonly target: string;
  /** Null when the figure could not be measured. */
  readonly measured: number | null;
  readonly met: boolean;
}

/** If `measured` is NaN or Infinity, the target is not met. */
export function atMost(name: string, measured: number, limit: number): Target {
  return target(`${name} <= ${limit}`, measured, measured <= limit);
}

export function atLeast(name: string, measured: number, limit: number): Target {
  return target(`${name} >= ${limit}`, measured, measured >= limit);
}

export function below(name: string, measured: number, limit: number): Target {
  return target(`${name} < ${limit}`, measured, measured < limit);
}

export function exactly(name: string, measured: number, value: number): Target {
  return target(`${name} = ${value}`, measured, measured === value);
}

function target(name: string, measured: number, met: boolean): Target {
  return {
    target: name,
    measured: Number.isFinite(measured) ? measured : null,
    met,
  };
}
