/** How the response of an attempt ended. */
import type {BodyProof} from '../responses/body_end.js';

/** End of a response that is not truncated. */
export interface EndedResponse {
  readonly status: number;
  readonly proof: BodyProof;
  /** Latency to compare with other targets. */
  readonly latencySampleMs?: number;
}
