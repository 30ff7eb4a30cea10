/** How the response of an attempt ended. */
import type {StreamRun} from '@marigoldpost/dispatch';
import type {BodyProof} from '../responses/body_end.js';

/** End of a response that is not truncated. */
export interface EndedResponse {
  readonly status: number;
  readonly proof: BodyProof;
  /** Latency to compare with other targets. */
  readonly latencySampleMs?: number | undefined;
  /** What a stream cost. */
  readonly run?: StreamRun | undefined;
}
