#!/usr/bin/env node
// The command must exist when npm links it, which is before the first build.
import "../dist/anvildeal.js";
