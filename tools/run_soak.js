/**
 * Runs the soak test of `platform/tests/soak` under injected faults, with the
 * arguments of the command line.
 */
import {runSoak} from '../dist-tests/platform/tests/soak/soak_command.js';

await runSoak(process.argv.slice(2));
