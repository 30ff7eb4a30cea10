/**
 * Plays days of a site file with real processes, with the arguments of the
 * command line.
 */
import {runDays} from '../dist-tests/platform/tests/days/day_command.js';

await runDays(process.argv.slice(2));
