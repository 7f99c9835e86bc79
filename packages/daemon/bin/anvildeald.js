#!/usr/bin/env -S node --max-old-space-size=96 --max-semi-space-size=4
// The command must exist when npm links it, which is before the first build.
import "../dist/anvildeald.js";
