#!/usr/bin/env node
/** Entry point of the command line. */
import {runCommandLine} from './run.js';

process.exitCode = await runCommandLine(process.argv.slice(2));
