/** The layers, lowest first: each may use itself and those before it. */
const layers = [
  "runtime",
  "rpc",
  "configuration",
  "consensus",
  "state",
  "replication",
  "control-protocol",
  "cluster-view",
  "control-plane",
  "sketch",
  "retry-budget",
  "load-balancing",
  "proxy",
  "admin",
  "daemon",
  "cli",
  "model-checker",
  "simulation",
  "fleet",
  "benchmarks",
].map((folder) => [folder, `^src/${folder}/`]);

const upward = layers.slice(0, -1).map(([name, path], at) => ({
  name: `${name}-uses-nothing-above`,
  severity: "error",
  from: { path },
  to: {
    path: layers
      .slice(at + 1)
      .map(([, above]) => above)
      .join("|"),
  },
}));

module.exports = {
  forbidden: [
    { name: "no-circles", severity: "error", from: {}, to: { circular: true } },
    ...upward,
    {
      name: "each-file-in-a-layer",
      severity: "error",
      from: { path: "^src/", pathNot: layers.map(([, path]) => path).join("|") },
      to: {},
    },
    {
      name: "platform-by-its-entry-only",
      severity: "error",
      from: { pathNot: "^(platform|test/platform)/" },
      to: { path: "^platform/" },
    },
    {
      name: "platform-uses-no-simulator",
      severity: "error",
      from: { path: "^platform/" },
      to: { path: "^src/(simulation|fleet|benchmarks)/" },
    },
    {
      name: "source-uses-no-test",
      severity: "error",
      from: { path: "^(src|platform)/" },
      to: { path: "^test/" },
    },
    { name: "every-import-is-found", severity: "error", from: {}, to: { couldNotResolve: true } },
  ],
  // Imports of types count too.
  options: {
    tsPreCompilationDeps: true,
    doNotFollow: { path: "node_modules" },
    tsConfig: { fileName: "tsconfig.json" },
    exclude: "^node:",
  },
};
