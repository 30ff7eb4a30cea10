#!/usr/bin/env node
/** Runs the command line. */
import {execute} from '@oclif/core';

await execute({dir: import.meta.url});
