import checkFile from "eslint-plugin-check-file";
import jsdoc from "eslint-plugin-jsdoc";
import tseslint from "typescript-eslint";

/** Folders that meet the limits of size and complexity: there a violation is an error. */
const finishedFolders = [
  "src/admin",
  "src/cli",
  "src/cluster-view",
  "src/configuration",
  "src/consensus",
  "src/control-plane",
  "src/control-protocol",
  "src/daemon",
  "src/load-balancing",
  "src/proxy",
  "src/replication",
  "src/retry-budget",
  "src/rpc",
  "src/runtime",
  "src/sketch",
  "src/state",
  "platform",
];

/** Limits of length and complexity, at a severity. */
const sizeLimits = (severity) => ({
  "max-lines": [severity, { max: 350, skipBlankLines: true, skipComments: true }],
  "max-lines-per-function": [severity, { max: 60, skipBlankLines: true, skipComments: true }],
  complexity: [severity, 12],
});

/** A doc comment on every exported item. */
const docComments = {
  "jsdoc/require-jsdoc": [
    "error",
    {
      publicOnly: true,
      require: { ArrowFunctionExpression: true, ClassDeclaration: true, MethodDefinition: false },
      contexts: ["TSInterfaceDeclaration", "TSTypeAliasDeclaration"],
    },
  ],
};

/** File names in kebab-case; `name.test.ts` counts as `name`. */
const fileNames = {
  "check-file/filename-naming-convention": [
    "error",
    { "**/*.{ts,mjs,js}": "KEBAB_CASE" },
    { ignoreMiddleExtensions: true },
  ],
  "check-file/folder-naming-convention": [
    "error",
    { "{src,test,platform,tools}/**/": "KEBAB_CASE" },
  ],
};

export default tseslint.config(
  { ignores: ["dist/", "target/", "node_modules/", "data/"] },
  ...tseslint.configs.recommended,
  {
    files: ["src/**/*.ts", "platform/**/*.ts", "test/**/*.ts"],
    languageOptions: { parserOptions: { projectService: true } },
    rules: {
      "@typescript-eslint/no-explicit-any": "error",
      "@typescript-eslint/consistent-type-assertions": ["error", { assertionStyle: "never" }],
      "@typescript-eslint/no-non-null-assertion": "error",
      "@typescript-eslint/no-unsafe-assignment": "error",
      "@typescript-eslint/no-unsafe-member-access": "error",
      "@typescript-eslint/no-unsafe-call": "error",
      "@typescript-eslint/no-redeclare": "error",
      "require-yield": "off",
    },
  },
  {
    files: ["{src,test,platform,tools}/**/*.{ts,mjs}"],
    plugins: { "check-file": checkFile },
    rules: fileNames,
  },
  {
    files: ["src/**/*.ts", "platform/**/*.ts"],
    plugins: { jsdoc },
    rules: { ...sizeLimits("warn"), ...docComments },
  },
  {
    files: finishedFolders.map((folder) => `${folder}/**/*.ts`),
    rules: sizeLimits("error"),
  },
);
