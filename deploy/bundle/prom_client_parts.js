/**
 * Exports the parts of prom-client that the router uses. Its index would also
 * load the push gateway, default metrics and cluster support.
 */
import Counter from "prom-client/lib/counter.js";
import Gauge from "prom-client/lib/gauge.js";
import Histogram from "prom-client/lib/histogram.js";
import Registry from "prom-client/lib/registry.js";

export { Counter, Gauge, Histogram, Registry };
