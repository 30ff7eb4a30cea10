/** The engines that both users' workloads run on. */
import {
  defaultEngineModelOptions,
  type EngineModelOptions,
} from '@marigoldpost/standins';

/** An engine of about 285 tokens a second and 28 ms between tokens at most. */
export const benchEngineOptions: EngineModelOptions = {
  ...defaultEngineModelOptions,
  totalBlocks: 4_000,
  maxRunning: 8,
  prefillMsPerToken: 0.25,
  prefillChunkTokens: 256,
  stepBaseMs: 16,
  stepPerStreamMs: 1.5,
  loadLagMs: 1_000,
  eventLagMs: 1_000,
  eventGapRate: 0.02,
  keepStreamMs: 0,
};
