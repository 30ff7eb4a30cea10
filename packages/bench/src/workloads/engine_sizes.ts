/** Options of the engines that all workloads run on. */
import {
  defaultEngineModelOptions,
  type EngineModelOptions,
} from '@marigoldpost/standins';

/** Engine with about 285 tokens per second and at most 28 ms between tokens. */
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
