/** Bundles the daemon into the single file target/daledoor.mjs; `--sizes` prints the size of each input. */
import { build } from "esbuild";

/** Packages that are not bundled: only other commands need them, or they are optional dependencies of bundled packages. */
const externalPackages = [
  "isomorphic-git",
  "dtrace-provider",
  "mv",
  "moment",
  "safe-json-stringify",
  "source-map-support",
];

/** Bundles only the client of undici, since loading all of undici takes half of the start-up time. */
const clientOnly = {
  name: "client-only",
  setup(bundle) {
    bundle.onResolve({ filter: /^undici$/ }, () => ({ path: "undici", namespace: "client-only" }));
    bundle.onLoad({ filter: /.*/, namespace: "client-only" }, () => ({
      contents:
        'export { default as Client } from "undici/lib/dispatcher/client.js"; export { default as errors } from "undici/lib/core/errors.js";',
      resolveDir: process.cwd(),
    }));
  },
};

const { metafile } = await build({
  entryPoints: ["platform/main.ts"],
  outfile: "target/daledoor.mjs",
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  minifySyntax: true,
  minifyWhitespace: true,
  minifyIdentifiers: false,
  legalComments: "none",
  external: externalPackages,
  plugins: [clientOnly],
  banner: {
    js: 'import { createRequire as requireFor } from "node:module"; const require = requireFor(import.meta.url);',
  },
  metafile: true,
  logLevel: "warning",
});
if (process.argv.includes("--sizes")) {
  const [output] = Object.values(metafile.outputs);
  for (const [path, { bytesInOutput }] of Object.entries(output.inputs).sort(
    (a, b) => b[1].bytesInOutput - a[1].bytesInOutput,
  ))
    console.log(bytesInOutput, path);
}
