/** Result of checking a file. */
import type {TextProblem} from '@marigoldpost/settings';

/** A checked file and its problems. */
export interface CheckResult {
  readonly file: string;
  readonly problems: readonly TextProblem[];
}
