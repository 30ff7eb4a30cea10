/** Runs the fault soak of `platform/tests/soak` on the arguments given. */
import {runSoak} from '../dist-tests/platform/tests/soak/soak_command.js';

await runSoak(process.argv.slice(2));
