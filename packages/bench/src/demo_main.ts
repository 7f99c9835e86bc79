import { parseArgs } from "node:util";
import { runDemo, serveLine, startDemoFleet } from "./demo.js";
import { formatTable } from "./report/table.js";

const { values } = parseArgs({
  options: {
    json: { type: "boolean", default: false },
    serve: { type: "boolean", default: false },
    seed: { type: "string", default: "1" },
  },
});
const seed = Number(values.seed);
const fleet = await startDemoFleet(seed, values.serve);
try {
  if (values.serve) {
    console.log(JSON.stringify(serveLine(fleet)));
    // Waits until a signal arrives. The signal handler of ProcessGroup then
    // ends all processes, this one included.
    await new Promise(() => setInterval(() => {}, 60_000));
  }
  const { figures, expected } = await runDemo(fleet, seed);
  const { reasons, ...numbers } = figures;
  console.log(formatTable(
    ["figure", "value"],
    Object.entries(numbers).map(([name, value]) => [name, String(value)]),
  ));
  for (const [reason, count] of Object.entries(reasons)) {
    console.log(`not answered whole: ${count} x ${reason}`);
  }
  for (const { target, measured, met } of expected) {
    console.log(`${met ? "met " : "FAIL"}  ${target} (measured ${measured})`);
  }
  if (!expected.every(({ met }) => met)) {
    process.exitCode = 1;
  }
  if (values.json) {
    console.log(JSON.stringify(figures));
  }
} finally {
  await fleet.dispose();
}
