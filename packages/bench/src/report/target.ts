/** A stated target and what a run measured for it. */
export interface Target {
  readonly target: string;
  readonly measured: number | null;
  readonly met: boolean;
}

/** A figure that could not be measured does not meet its target. */
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
