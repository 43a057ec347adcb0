package config

// Organisations returns the organisations with an object in force, by name.
func (v *View) Organisations() map[string]Organisation {
	out := make(map[string]Organisation)
	for key, value := range v.bodies {
		if key.Kind != KindOrganisation {
			continue
		}
		if organisation, ok := value.parsed.(Organisation); ok {
			out[key.Name] = organisation
		}
	}
	return out
}
