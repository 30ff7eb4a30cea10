/** Prints what control costs a daemon, and how that grows with the fleet. */
import {reportControl} from '../dist/index.js';

await reportControl((line) => console.log(line));
