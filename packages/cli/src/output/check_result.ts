/** Result of validating a file. */
import type {TextProblem} from '@marigoldpost/settings';

/** Path of a validated file and its problems; none when it is valid. */
export interface CheckResult {
  readonly file: string;
  readonly problems: readonly TextProblem[];
}
