/** Prints the control traffic cost of a daemon by size of the fleet. */
import {reportControl} from '../dist/index.js';

await reportControl((line) => console.log(line));
