#include <sstream>

#include "core/config/declaration_keys.h"

namespace indigolead {
namespace {

constexpr char kIntroduction[] = R"(# Declarations

Printed by `indigolead help declarations` from the tables that check them.

A directory of `*.ini` files declares deployments. A template says what its
deployments have in common; `${NAME}` in a value stands for a parameter. A
deployment names its template and gives its parameters. A client account gives
the values of its own keys; those that it leaves out come from the template.

```ini
[template price-rules]
parameter.model_version = 3
parameter.adapters =
kind = model
deadline = 60s

[template price-rules model tarifa]
version = ${model_version}
adapters = ${adapters}

[template price-rules client-account]
parameter.salons = 1
priority = 10
max_concurrent = ${salons}

[deployment tarifa-llm]
template = price-rules
adapters = bilbao, oviedo

[client-account tarifa-llm gran-via]
api_key_sha256 = 64 hexadecimal digits
salons = 12
```

- `parameter.NAME = DEFAULT` in a template makes NAME a parameter of its
  deployments, and below `[template NAME client-account]` one of its client
  accounts, which may use both. Without a default it must be given.
- A deployment uses the template in its own file if there is one by that name,
  else the only one by that name in the directory.
- Comments are whole lines that start with `;` or `#`.
- `seen.ini` is not a declaration: `apply` and `export` keep in it from which
  revision each deployment was edited.
)";

template <typename Owner>
void AppendKeys(const std::string& title,
                const std::vector<KeyRow<Owner>>& rows, std::ostream* os) {
  *os << "\n## " << title << "\n\n"
      << "| key | default | accepted | meaning |\n"
      << "| --- | --- | --- | --- |\n";
  for (const KeyRow<Owner>& it : rows) {
    Owner defaults;
    const std::string text = FormatField(it.rule, it.field(defaults));
    *os << "| `" << it.key << "` | "
        << (it.required    ? "required"
            : text.empty() ? "none"
                           : "`" + text + "`")
        << " | " << AcceptedText(it.rule) << " | " << it.meaning << " |\n";
  }
}

}  // namespace

std::string DeclarationsMarkdown() {
  std::ostringstream os;
  os << kIntroduction;
  AppendKeys("[template NAME]", DeploymentKeys(), &os);
  AppendKeys("[template NAME model MODEL]", ModelKeys(), &os);
  AppendKeys(
      "[client-account DEPLOYMENT NAME] and [template NAME client-account]",
      ClientAccountKeys(), &os);
  return os.str();
}

}  // namespace indigolead
