import { backendFaults } from "./faults/backend-faults.js";
import { catchUpFaults } from "./faults/catch-up-faults.js";
import { diskFaults } from "./faults/disk-faults.js";
import type { FaultScenario } from "./faults/fault.js";
import { garbledResponseFaults } from "./faults/garbled-response-faults.js";
import { lostResponseFaults } from "./faults/lost-response-faults.js";
import { memberPartitionFaults } from "./faults/member-partition-faults.js";
import { networkFaults } from "./faults/network-faults.js";
import { commandFaults } from "./faults/command-faults.js";
import { processFaults } from "./faults/process-faults.js";
import { replacementFaults } from "./faults/replacement-faults.js";

/** All faults that can be injected into a simulated fleet, by name. Each ends by itself. */
export const faults: Record<string, FaultScenario> = {
  ...processFaults,
  ...diskFaults,
  ...networkFaults,
  ...backendFaults,
  ...commandFaults,
  ...memberPartitionFaults,
  ...lostResponseFaults,
  ...replacementFaults,
  ...catchUpFaults,
  ...garbledResponseFaults,
};
